use super::{page, read};

#[test]
fn the_page_is_what_its_points_give() {
    let docs = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs");
    let runs = read(&format!("{docs}/capacity.json").into()).expect("the points can be read");
    let written = std::fs::read_to_string(format!("{docs}/design/serve-capacity.md"))
        .expect("there is a page");
    assert_eq!(page(&runs), written);
}

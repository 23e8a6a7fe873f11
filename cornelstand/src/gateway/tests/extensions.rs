//! Blocks behind a message: builds with and without them read each other's datagrams.

use crate::gateway::extensions::{Extension, ExtensionKind, find, read, write};

const UNKNOWN: ExtensionKind = ExtensionKind(200);

fn block(kind: ExtensionKind, contents: &str) -> Extension {
    Extension::new(kind, &contents).expect("text is encoded")
}

#[test]
fn a_build_without_extensions_reads_the_message() {
    let bytes = write(&(7_u32, "beat"), &[block(UNKNOWN, "more")]).expect("bytes");
    let message: (u32, String) = postcard::from_bytes(&bytes).expect("the message");
    assert_eq!(message, (7, "beat".to_owned()));
}

#[test]
fn a_message_without_extensions_is_read() {
    let bytes = postcard::to_stdvec(&(7_u32, "beat")).expect("bytes");
    let (message, extensions) = read::<(u32, String)>(&bytes).expect("the message");
    assert_eq!((message.0, extensions.len()), (7, 0));
}

#[test]
fn unknown_and_unreadable_blocks_leave_the_others() {
    let blocks = [
        block(UNKNOWN, "from a later build"),
        block(ExtensionKind::PROCESSOR, "known"),
    ];
    let bytes = write(&1_u8, &blocks).expect("bytes");
    let (_, read) = read::<u8>(&bytes).expect("the message");
    let known: Option<String> = find(&read, ExtensionKind::PROCESSOR);
    assert_eq!(known.as_deref(), Some("known"));
    assert_eq!(find::<[u64; 9]>(&read, ExtensionKind::PROCESSOR), None);
    assert_eq!(find::<String>(&read, ExtensionKind::ROLLOUTS), None);
}

#[test]
fn a_message_with_a_cut_extension_is_read() {
    let bytes = write(&1_u8, &[block(UNKNOWN, "long contents")]).expect("bytes");
    let (message, extensions) = read::<u8>(&bytes[..bytes.len() - 3]).expect("the message");
    assert_eq!((message, extensions.len()), (1, 0));
}

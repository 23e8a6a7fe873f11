//! An endpoint that counts runs and passes every step of an exchange.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelstand::RequestId;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::plan::Step;
use crate::world::{Act, Node, World};

/// How long the endpoint's address refuses connections after a crash.
const RESTART: Duration = Duration::from_millis(200);

/// Starts an endpoint.
pub(crate) fn start(world: Arc<World>, listener: TcpListener) {
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut listener = Some(listener);
        loop {
            let open = match listener.take() {
                Some(open) => open,
                None => bind(address),
            };
            serve(&world, open).await;
            sleep(RESTART).await;
        }
    });
}

fn bind(address: SocketAddr) -> TcpListener {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(address).unwrap();
    socket.listen(64).unwrap()
}

/// Serves until the endpoint crashes.
async fn serve(world: &Arc<World>, listener: TcpListener) {
    let mut boot = world.boot.subscribe();
    let now = *boot.borrow_and_update();
    let mut refusals = world.refusals.subscribe();
    refusals.borrow_and_update();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let (stream, _) = accepted.unwrap();
                let world = world.clone();
                tokio::spawn(async move {
                    let mut boot = world.boot.subscribe();
                    tokio::select! {
                        () = exchange(&world, stream) => {}
                        _ = boot.wait_for(|b| *b != now) => {}
                    }
                });
            }
            _ = boot.changed() => return,
            _ = refusals.changed() => return,
        }
    }
}

async fn exchange(world: &Arc<World>, mut stream: TcpStream) {
    let mut io = Exchange {
        world,
        node: Node::B,
        stream: &mut stream,
    };
    // An error ends the connection, as it does at a real endpoint.
    let _ = io.run().await;
}

struct Exchange<'a> {
    world: &'a Arc<World>,
    node: Node,
    stream: &'a mut TcpStream,
}

/// The connection ends here.
struct Ended;

impl From<std::io::Error> for Ended {
    fn from(_: std::io::Error) -> Self {
        Self
    }
}

impl Exchange<'_> {
    async fn run(&mut self) -> Result<(), Ended> {
        if std::mem::take(&mut *self.world.mute.lock().unwrap()) {
            std::future::pending::<()>().await;
        }
        let mut read = Vec::new();
        let end = self.read_head(&mut read).await?;
        let head = String::from_utf8_lossy(&read[..end]).to_lowercase();
        if !head.starts_with("post") {
            return self.load().await;
        }
        let attempt = header(&head, "x-request-id").ok_or(Ended)?.to_owned();
        let request = attempt
            .split('-')
            .next()
            .and_then(|t| u128::from_str_radix(t, 16).ok());
        let request = RequestId(request.ok_or(Ended)?);
        self.node = self.world.node(request);
        let (world, node) = (self.world.clone(), self.node);
        tokio::select! {
            ended = self.serve(&attempt, request, read, end) => ended,
            () = world.death(node) => Err(Ended),
        }
    }

    async fn serve(
        &mut self,
        attempt: &str,
        request: RequestId,
        mut read: Vec<u8>,
        end: usize,
    ) -> Result<(), Ended> {
        let head = String::from_utf8_lossy(&read[..end]).to_lowercase();
        self.world
            .seen
            .lock()
            .unwrap()
            .entry(request)
            .or_default()
            .touched += 1;
        self.step(Step::HeadersSent).await?;
        let length = header(&head, "content-length").and_then(|l| l.parse().ok());
        let length: usize = length.ok_or(Ended)?;
        self.read_body(&mut read, end + length / 2).await?;
        self.step(Step::BodyHalfSent).await?;
        self.read_body(&mut read, end + length).await?;
        if *self.world.cold.lock().unwrap() {
            return self.overloaded().await;
        }
        self.world
            .seen
            .lock()
            .unwrap()
            .entry(request)
            .or_default()
            .runs += 1;
        let act = self.step(Step::Sent).await?;
        let body = String::from_utf8_lossy(&read[end..]);
        let body = crate::caller::answer_to(&body, head.contains("/long"));
        self.answer(attempt, &body, act).await
    }

    async fn answer(&mut self, attempt: &str, body: &str, act: Act) -> Result<(), Ended> {
        let boot = *self.world.boot.borrow();
        let act = match self.step(Step::FirstByte).await? {
            Act::Go => act,
            other => other,
        };
        let named = if act == Act::Cross {
            "00000000000000000000000000000000-0"
        } else {
            attempt
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: {}\r\n\
             x-endpoint-boot: {boot}\r\nx-request-id: {named}\r\n\r\n",
            body.len(),
        );
        let (half, rest) = body.as_bytes().split_at(body.len() / 2);
        self.stream.write_all(head.as_bytes()).await?;
        self.stream.write_all(half).await?;
        self.step(Step::MidStream).await?;
        self.stream.write_all(rest).await?;
        self.step(Step::Ended).await?;
        Ok(())
    }

    async fn overloaded(&mut self) -> Result<(), Ended> {
        let answer = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
        self.stream.write_all(answer.as_bytes()).await?;
        Ok(())
    }

    async fn load(&mut self) -> Result<(), Ended> {
        let boot = *self.world.boot.borrow();
        let load = format!(r#"{{"boot":{boot},"running":0,"waiting":0,"answers":0}}"#);
        let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n";
        let answer = format!("{head}content-length: {}\r\n\r\n{load}", load.len());
        self.stream.write_all(answer.as_bytes()).await?;
        Ok(())
    }

    async fn step(&mut self, step: Step) -> Result<Act, Ended> {
        match self.world.reach(step, self.node).await {
            Act::Cut => Err(Ended),
            Act::Silent => std::future::pending().await,
            act => Ok(act),
        }
    }

    async fn read_head(&mut self, read: &mut Vec<u8>) -> Result<usize, Ended> {
        loop {
            if let Some(at) = read.windows(4).position(|w| w == b"\r\n\r\n") {
                return Ok(at + 4);
            }
            self.read_more(read).await?;
        }
    }

    async fn read_body(&mut self, read: &mut Vec<u8>, length: usize) -> Result<(), Ended> {
        while read.len() < length {
            self.read_more(read).await?;
        }
        Ok(())
    }

    async fn read_more(&mut self, read: &mut Vec<u8>) -> Result<(), Ended> {
        if self.stream.read_buf(read).await? == 0 {
            return Err(Ended);
        }
        Ok(())
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines()
        .filter_map(|line| line.split_once(':'))
        .find(|(found, _)| *found == name)
        .map(|(_, value)| value.trim())
}

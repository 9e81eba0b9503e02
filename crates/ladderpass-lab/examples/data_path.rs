//! Prints the slopes of a router's data path, and tables where it is asked for the long form, from the root:
//! `cargo run --release -p ladderpass-lab --example data_path -- SEED [long]`. Without a router that was built
//! (`target/release/ladderpass`) those of real processes are left out.

use ladderpass_lab::capacity::data_path::{self, Settings};
use std::path::PathBuf;

fn main() {
    let mut words = std::env::args().skip(1);
    let seed = words.next().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let long = words.next().is_some_and(|word| word == "long");
    let router = PathBuf::from("target/release/ladderpass");
    let settings = Settings { long, router: Some(router).filter(|path| path.exists()) };
    for slope in data_path::measure(seed, &settings) {
        let (fit, (least, most)) = (slope.fit(), slope.range());
        println!(
            "{}: {} by {}, {} to {}: {:.6} each and {:.3}, error {:.1}%",
            slope.name,
            slope.y,
            slope.x,
            least,
            most,
            fit.slope,
            fit.base,
            fit.error * 100.0
        );
        let points: Vec<String> = slope.points.iter().map(|(x, y)| format!("({x:.1}, {y:.4})")).collect();
        println!("  {}", points.join(" "));
    }
    if long {
        match data_path::tables(seed, settings.router.as_deref()) {
            Ok(tables) => println!("{tables}"),
            Err(fault) => eprintln!("{fault}"),
        }
    }
}

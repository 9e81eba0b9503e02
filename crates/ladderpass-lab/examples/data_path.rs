//! Prints the slopes of a router's data path: `cargo run --release -p ladderpass-lab --example data_path -- SEED [long]`.

use ladderpass_lab::capacity::data_path::{self, Settings};

fn main() {
    let mut words = std::env::args().skip(1);
    let seed = words.next().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let long = words.next().is_some_and(|word| word == "long");
    let settings = Settings { long, router: Some("target/release/ladderpass".into()) };
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

//! Prints the slopes of a router's data path and the figures at the size, from the root of the tree:
//! `cargo run --release -p ladderpass-testbed --example data_path -- SEED [long|tables|size]`
//! `long` has all, `tables` only what bends, `size` only one router at the size itself. Without a router that was
//! built (`target/release/ladderpass`) real processes are left out.

use ladderpass_testbed::capacity::data_path::{self, Settings};
use std::path::PathBuf;

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let seed = words.first().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let form = words.get(1).map_or("", String::as_str);
    let router = Some(PathBuf::from("target/release/ladderpass")).filter(|path| path.exists());
    if matches!(form, "" | "long") {
        let slopes = data_path::measure(seed, &Settings { long: form == "long", router: router.clone() });
        println!("| slope | y | x | range | each | base | error |\n|---|---|---|---|---|---|---|");
        for slope in &slopes {
            let (fit, (least, most)) = (slope.fit(), slope.range());
            let (name, x, y, error) = (slope.name, slope.x, slope.y, fit.error * 100.0);
            let (each, base) = (fit.slope, fit.base);
            println!(
                "| {name} | {y} | {x} | {least:.0} to {most:.0} | {each:.5} | {base:.2} | {error:.1}% |"
            );
        }
        println!();
        for slope in &slopes {
            let points: Vec<String> = slope.points.iter().map(|(x, y)| format!("{x:.0}: {y:.3}")).collect();
            println!("{}: {}", slope.name, points.join(", "));
        }
        println!();
        for (name, figure) in data_path::figures(&slopes) {
            println!("| `{name}` | {figure:.2} |");
        }
        println!();
    }
    let tell = |table: Result<String, String>| match table {
        Ok(table) => println!("{table}"),
        Err(fault) => eprintln!("{fault}"),
    };
    if matches!(form, "long" | "tables") {
        tell(data_path::tables(seed));
    }
    if matches!(form, "long" | "size") {
        tell(data_path::size(seed, router.as_deref()));
    }
}

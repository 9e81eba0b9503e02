//! Prints the cost slopes of a router's data path and the figures at the reference size. Run it from the root of the tree:
//!
//! `cargo run --release -p ladderpass-testbed --example data_path -- SEED [long|tables|size]`
//!
//! Without a second argument it prints the slopes and the figures that are computed from them. `tables` prints only the tables
//! of behaviour that is not linear, `size` only one router at the reference size, and `long` all of these, with longer runs for
//! the slopes. If no router has been built (`target/release/ladderpass`), measurements of real processes are left out.

use ladderpass_testbed::capacity::data_path::{self, Settings};
use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let seed = arguments.first().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let selection = arguments.get(1).map_or("", String::as_str);
    let router = Some(PathBuf::from("target/release/ladderpass")).filter(|path| path.exists());
    if matches!(selection, "" | "long") {
        let slopes =
            data_path::measure(seed, &Settings { long: selection == "long", router: router.clone() });
        println!("| slope | y | x | range | each | base | error |\n|---|---|---|---|---|---|---|");
        for slope in &slopes {
            let (fit, (min_x, max_x)) = (slope.fit(), slope.range());
            let (name, x, y, error) = (slope.name, slope.x, slope.y, fit.error * 100.0);
            let (each, base) = (fit.slope, fit.base);
            println!(
                "| {name} | {y} | {x} | {min_x:.0} to {max_x:.0} | {each:.5} | {base:.2} | {error:.1}% |"
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
    let print_table = |table: Result<String, String>| match table {
        Ok(table) => println!("{table}"),
        Err(error) => eprintln!("{error}"),
    };
    if matches!(selection, "long" | "tables") {
        print_table(data_path::tables(seed));
    }
    if matches!(selection, "long" | "size") {
        print_table(data_path::size(seed, router.as_deref()));
    }
}

//! The stand-in command.

use bpaf::Parser;
use standin::policy;

fn main() {
    let options = policy::options().to_options().command("policy").to_options().run();
    match policy::run(&options) {
        Ok(text) => println!("{text}"),
        Err(error) => {
            eprintln!("{error}");
            std::process::exit(1);
        }
    }
}

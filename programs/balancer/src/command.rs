//! The command line: checks an operator file, shows the route of a request, explains a rule. Without arguments the
//! program balances.

use std::fmt::Write;
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, CommandFactory, FromArgMatches, Parser, Subcommand, ValueHint};
use clap_complete::Shell;
use serde_json::json;
use whinspindle_deployment_settings::{Deployment, index_of};
use whinspindle_operator_file::{Operator, RULES};
use whinspindle_routes::{HedgePolicy, Lookup, Route, proof};

use crate::configuration;
use crate::fleet_command::FleetArguments;

const LONG_ABOUT: &str = "A load balancer for services that call services. Without arguments it balances, as the file \
says that the variable ROUTER_CONFIG names, and with the operator's file that WHINSPINDLE_OPERATOR names, \
if it does.

Exit codes of these commands: 0 well; 1 no route, or the file has faults; 2 wrong arguments, a file that can't be read, or faults \
in what it was to balance by.";

#[derive(Parser)]
#[command(name = "whinspindle", version, about = "A load balancer for services that call services")]
#[command(long_about = LONG_ABOUT, arg_required_else_help = true)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Balance, as without arguments, with the routes of an operator's file
    Run(RunArguments),
    /// Read an operator's file, prove its routes against the rules, and tell every fault
    Check(CheckArguments),
    /// Tell which route a query takes, why that one, and its worst schedule
    Route(RouteArguments),
    /// Speak to a running balancer of a fleet: what is agreed, and changes of it
    Fleet(FleetArguments),
    /// Explain a rule by its number
    Explain(ExplainArguments),
    /// Write what makes a shell complete these commands, for its start-up file
    Completions {
        #[arg(value_enum)]
        shell: Shell,
    },
}

#[derive(Args)]
struct RunArguments {
    /// The operator's file; read again at SIGHUP
    #[arg(long, value_hint = ValueHint::FilePath)]
    operator: Option<PathBuf>,
}

#[derive(Args)]
struct Files {
    /// The operator's file
    #[arg(value_hint = ValueHint::FilePath)]
    file: PathBuf,
    /// The platform's configuration, whose settings the file is held against; else the one that ROUTER_CONFIG
    /// names
    #[arg(long, value_hint = ValueHint::FilePath)]
    config: Option<PathBuf>,
}

#[derive(Args)]
struct CheckArguments {
    #[command(flatten)]
    files: Files,
    /// Faults as JSON
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
struct RouteArguments {
    #[command(flatten)]
    files: Files,
    #[arg(long, default_value = "GET")]
    method: String,
    #[arg(long)]
    path: String,
    /// The product, by its name in the settings
    #[arg(long)]
    product: String,
    /// The tenant, by its name in the settings
    #[arg(long)]
    tenant: Option<String>,
}

#[derive(Args)]
struct ExplainArguments {
    /// 1 to 4
    rule: u8,
}

/// The command line with one help for the whole program: the commands of the serving system follow those of this crate.
fn described() -> clap::Command {
    Arguments::command().after_long_help(whinspindle_serving::command_line::help())
}

/// Runs the command that the arguments name.
pub fn run() -> ExitCode {
    let line = Arguments::from_arg_matches(&described().get_matches()).unwrap_or_else(|fault| fault.exit());
    let done = match line.command {
        Command::Run(line) => return crate::balance(line.operator),
        Command::Check(line) => check(&line),
        Command::Route(line) => route(&line),
        Command::Fleet(line) => crate::fleet_command::run(&line),
        Command::Explain(line) => explain(&line),
        Command::Completions { shell } => completions(shell),
    };
    done.unwrap_or_else(|fault| {
        eprintln!("whinspindle: {fault}");
        ExitCode::from(2)
    })
}

/// Writes shell completions through a buffer, since the generator panics on a closed pipe.
fn completions(shell: Shell) -> Result<ExitCode, String> {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Arguments::command(), "whinspindle", &mut script);
    std::io::stdout().write_all(&script).map_err(|fault| format!("standard output: {fault}"))?;
    Ok(ExitCode::SUCCESS)
}

fn deployment(config: Option<&Path>) -> Result<Deployment, String> {
    let read = match config {
        None => configuration::read().map_err(|fault| fault.to_string()),
        Some(config) => {
            configuration::read_file(config).map_err(|fault| format!("{}: {fault}", config.display()))
        }
    };
    read.map(|configuration| configuration.deployment)
}

/// Reads a file as UTF-8 text; the error names the line.
pub fn text(file: &Path) -> Result<String, String> {
    let bytes = std::fs::read(file).map_err(|fault| format!("{}: {fault}", file.display()))?;
    String::from_utf8(bytes).map_err(|fault| {
        let at = fault.utf8_error().valid_up_to();
        let line = fault.as_bytes()[..at].iter().filter(|byte| **byte == b'\n').count() + 1;
        format!("{}: line {line}: is not UTF-8 text", file.display())
    })
}

fn check(line: &CheckArguments) -> Result<ExitCode, String> {
    let deployment = deployment(line.files.config.as_deref())?;
    let text = text(&line.files.file)?;
    let name = line.files.file.display().to_string();
    let (routes, faults) = match whinspindle_operator_file::read(&text, &deployment) {
        Ok(operator) => (operator.routes.routes().len(), Vec::new()),
        Err(faults) => (0, faults),
    };
    if line.json {
        let faults: Vec<_> = faults
            .iter()
            .map(|fault| {
                json!({"line": fault.line, "column": fault.column, "field": fault.field, "fault": fault.message,
                    "wayOut": fault.hint})
            })
            .collect();
        println!("{}", json!({"file": name, "good": faults.is_empty(), "faults": faults}));
    } else if faults.is_empty() {
        println!("{name}: good, {routes} routes");
    } else {
        eprint!("{}", whinspindle_operator_file::draw(&name, &text, &faults));
        eprintln!("{name}: {} faults", faults.len());
    }
    Ok(if faults.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn route(line: &RouteArguments) -> Result<ExitCode, String> {
    let deployment = deployment(line.files.config.as_deref())?;
    let text = text(&line.files.file)?;
    let operator = whinspindle_operator_file::read(&text, &deployment).map_err(|faults| {
        whinspindle_operator_file::draw(&line.files.file.display().to_string(), &text, &faults)
    })?;
    let named = |names: &[String], name: &str, what: &str| {
        index_of(names, name)
            .ok_or_else(|| format!("the settings know no {what} {name:?}; {}", names.join(", ")))
    };
    let product = named(&deployment.products, &line.product, "product")?;
    let tenant = match &line.tenant {
        Some(tenant) => named(&deployment.tenants, tenant, "tenant")?,
        None => deployment.tenants.len(),
    };
    let lookup = Lookup { method: &line.method, target: &line.path, product, tenant };
    match operator.routes.find(&lookup) {
        Some(number) => {
            let route = &operator.routes.routes()[number];
            print!("{}", why(&operator, route, &lookup, &deployment));
            Ok(ExitCode::SUCCESS)
        }
        None => {
            println!("no route: the balancer does as it does without a file");
            Ok(ExitCode::FAILURE)
        }
    }
}

/// Describes which route matches and why, and its worst-case schedule.
fn why(operator: &Operator, route: &Route, lookup: &Lookup, deployment: &Deployment) -> String {
    let mut text = format!("route {:?}: {}", route.name, route.matches.path);
    let m = &route.matches;
    let named = [
        m.method.as_ref().map(|method| format!("method {method}")),
        m.product.map(|product| format!("product {}", deployment.products[product])),
        m.tenant.map(|tenant| format!("tenant {}", deployment.tenants[tenant])),
    ];
    for name in named.into_iter().flatten() {
        let _ = write!(text, ", {name}");
    }
    text.push('\n');
    let others: Vec<&str> = operator
        .routes
        .routes()
        .iter()
        .filter(|other| other.name != route.name && matches(other, lookup))
        .map(|other| other.name.as_str())
        .collect();
    if others.is_empty() {
        text.push_str("  no other route is for this query\n");
    } else {
        let _ = writeln!(text, "  more particular than {}", others.join(", "));
    }
    let c = &route.conditions[lookup.product];
    let schedule = proof::worst(c, &whinspindle_operator_file::bounds(deployment));
    text.push_str("  the worst schedule that it allows:\n");
    let at = |text: &mut String, us: u64, what: &str| {
        let _ = writeln!(text, "  {:>12.3} ms  {what}", us as f64 / 1e3);
    };
    for (n, send) in schedule.sends.iter().enumerate() {
        at(&mut text, *send, &format!("execution {} goes out", n + 1));
    }
    at(&mut text, schedule.last_arrival, "the last has reached its server");
    at(&mut text, schedule.last_end, "the last is over");
    at(&mut text, schedule.answer, "the client has its answer");
    match c.hedge {
        HedgePolicy::Never => {}
        HedgePolicy::After(us) => at(&mut text, us, "a second copy goes out beside the first"),
        HedgePolicy::Quantile(part) => {
            let _ =
                writeln!(text, "  a second copy once the first takes longer than {part} of the last answers");
        }
    }
    text
}

fn matches(route: &Route, lookup: &Lookup) -> bool {
    route.matches.path.holds(lookup.target)
        && route.matches.method.as_deref().is_none_or(|method| method == lookup.method)
        && route.is_for(lookup.product)
        && route.matches.tenant.is_none_or(|tenant| tenant == lookup.tenant)
}

fn explain(line: &ExplainArguments) -> Result<ExitCode, String> {
    let found = RULES.iter().find(|(number, ..)| *number == line.rule);
    let (number, title, text) = found.ok_or_else(|| format!("there is no rule {}; 1 to 4", line.rule))?;
    println!("rule {number}: {title}\n\n{text}");
    Ok(ExitCode::SUCCESS)
}

//! `cassiashunt key`.

use cassiashunt_table::{Change, Key, KeyState};
use cassiashunt_types::KeyId;
use eyre::Result;

use super::edit::{self, Options};
use crate::{
    client::Client,
    exit::Exit,
    flags::{self, KeyCmd},
};

/// Gives, withdraws or lists keys.
pub fn run(flags: flags::Key) -> Result<Exit> {
    let client = Client::new(flags.node)?;
    let opts = Options {
        who: flags.who,
        json: flags.json,
        wait: flags.wait,
    };
    match flags.subcommand {
        KeyCmd::Give(give) => {
            let workspace = give.workspace.parse();
            let workspace = workspace.map_err(|err| Exit::Usage.err(format!("{err}")))?;
            let key = Key::generate();
            let verifier = key.verifier();
            let exit = edit::send(
                &client,
                &opts,
                vec![Change::GiveKey {
                    workspace,
                    verifier,
                }],
            )?;
            println!("{}", key.reveal());
            eprintln!("key {}; it is shown only now", verifier.key_id());
            Ok(exit)
        }
        KeyCmd::Withdraw(withdraw) => {
            let id = parse_id(&withdraw.id)?;
            edit::send(&client, &opts, vec![Change::WithdrawKey { id }])
        }
        KeyCmd::Forget(forget) => {
            let id = parse_id(&forget.id)?;
            edit::send(&client, &opts, vec![Change::ForgetKey { id }])
        }
        KeyCmd::List(_) => list(&client),
    }
}

fn parse_id(text: &str) -> Result<KeyId> {
    let id = u64::from_str_radix(text, 16);
    id.map(KeyId)
        .map_err(|_| Exit::Usage.err(format!("{text:?} is no key id; see `key list`")))
}

fn list(client: &Client) -> Result<Exit> {
    for (id, record) in client.head()?.keys().iter() {
        let state = match record.state {
            KeyState::Active => "active",
            KeyState::Withdrawn => "withdrawn",
        };
        println!(
            "{id} {} {state} since revision {}",
            record.workspace, record.changed.0
        );
    }
    Ok(Exit::Done)
}

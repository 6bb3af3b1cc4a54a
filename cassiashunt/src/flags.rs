//! The command line.

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Overload control for service call graphs.
    cmd cassiashunt {
        /// Runs a node beside a backend server.
        cmd node {
            /// The settings file.
            required settings: PathBuf
        }

        /// Runs a node beside a backend server of the users' platform.
        cmd sidecar {
            /// The settings file (or the one that the platform names in the environment).
            optional settings: PathBuf
            /// A value in place of the file's, as TABLE.KEY=VALUE; one without a value is not given.
            repeated --set set: String
        }

        /// Checks a settings file and prints the settings in effect.
        cmd check {
            /// The settings file.
            required settings: PathBuf
        }

        /// Shows and changes the table of weights and limits.
        cmd table {
            /// An operators' address of any node (or CASSIASHUNT_NODE).
            optional --node node: SocketAddr
            /// Who asks, for the audit trail (or USER).
            optional --who who: String
            /// Answer as JSON.
            optional --json
            /// Wait until the edit is in force at every live node.
            optional --wait

            /// Prints the table, or the cells of one row.
            cmd get {
                /// The row, as workspace,route,class.
                optional row: String
            }
            /// Sets a cell.
            cmd set {
                /// The row, as workspace,route,class.
                required row: String
                /// The column.
                required column: String
                /// The value.
                required value: String
                /// What the cell is expected to hold; the present value where not given.
                optional --expect expect: String
            }
            /// Clears a cell, so that the next less specific row counts.
            cmd clear {
                /// The row, as workspace,route,class.
                required row: String
                /// The column.
                required column: String
            }
            /// Binds an endpoint to a route, class and service.
            cmd bind {
                /// The endpoint, as "POST /sections".
                required endpoint: String
                /// The route.
                required route: String
                /// The class.
                required class: String
                /// The service.
                required service: String
            }
            /// Writes rows or routes as CSV.
            cmd export {
                /// Write the routes instead of the rows.
                optional --routes
            }
            /// Reads rows or routes from CSV and changes the table to match.
            cmd import {
                /// The file.
                required file: PathBuf
                /// Read routes instead of rows.
                optional --routes
            }
            /// Shows what an import would change.
            cmd diff {
                /// The file.
                required file: PathBuf
                /// Read routes instead of rows.
                optional --routes
            }
        }

        /// Gives and withdraws callers' keys.
        cmd key {
            /// An operators' address of any node (or CASSIASHUNT_NODE).
            optional --node node: SocketAddr
            /// Who asks, for the audit trail (or USER).
            optional --who who: String
            /// Answer as JSON.
            optional --json
            /// Wait until the edit is in force at every live node.
            optional --wait

            /// Gives a workspace a new key and prints it once.
            cmd give {
                /// The workspace.
                required workspace: String
            }
            /// Withdraws a key for good.
            cmd withdraw {
                /// The key's id, as `key list` shows it.
                required id: String
            }
            /// Removes a withdrawn key from the list, to make room.
            cmd forget {
                /// The key's id.
                required id: String
            }
            /// Lists keys by id.
            cmd list {}
        }

        /// Prints the audit trail, oldest entry first.
        cmd audit {
            /// An operators' address of any node (or CASSIASHUNT_NODE).
            optional --node node: SocketAddr
            /// Answer as JSON lines.
            optional --json
            /// At most so many of the newest entries.
            optional --last last: usize
        }

        /// Prints what a node knows of itself and the fleet.
        cmd status {
            /// An operators' address of the node (or CASSIASHUNT_NODE).
            optional --node node: SocketAddr
            /// Answer as JSON.
            optional --json
        }

        /// Prints where a request would go now, and why, at a node of the users' platform. Sends no request.
        cmd explain {
            /// The metrics address of the node.
            required node: SocketAddr
            /// The host of the request.
            required --host host: String
            /// Its path, with its query if it has one.
            required --path path: String
            /// Its method; GET where not given.
            optional --method method: String
            /// A file with the key that it would carry.
            optional --key-file key_file: PathBuf
        }

        /// Asks a node for a graceful stop.
        cmd drain {
            /// An operators' address of the node (or CASSIASHUNT_NODE).
            optional --node node: SocketAddr
        }

        /// Runs an experiment: load on a fleet, and a comparison of its variants.
        cmd load {
            /// The experiment file.
            required experiment: PathBuf
            /// Write the table, JSON lines and plots to this folder.
            optional --out out: PathBuf
            /// Run each variant so often.
            optional --repeats repeats: u32
            /// Run only this variant; may be given several times.
            repeated --only only: String
            /// Show no progress.
            optional --quiet
        }

        /// Shows a fleet at work, all in this process and on loopback.
        cmd demo {}

        /// Runs a stand-in for an outside system, for tests and experiments.
        cmd standin {
            /// The platform's key-value service.
            cmd platform {
                /// Where to listen; loopback only.
                required listen: SocketAddr
            }
            /// A backend server.
            cmd server {
                /// The settings file.
                required settings: PathBuf
            }
        }
    }
}

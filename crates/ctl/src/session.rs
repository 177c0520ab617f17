//! Carries out statements, one after the other.

use std::path::Path;

use amaranth_entry::operator_command::CommandOutcome;
use amaranth_entry::operator_query::ShowAnswer;
use amaranth_kernel::language::parse;
use amaranth_kernel::language::statement::Statement;
use amaranth_net::clock::unix_ms;
use amaranth_net::exit_codes::ExitCode;
use amaranth_wire::id::{CommandId, TierId};
use serde_json::Value;

use crate::client::{ClientError, OperatorClient};
use crate::render;

/// How answers are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// Aligned columns.
    Table,
    /// One JSON value a line.
    Json,
}

/// What a statement gave.
#[derive(Debug)]
pub struct StatementEnd {
    /// Text for stdout.
    pub output: String,
    /// Text for stderr.
    pub error: Option<String>,
    /// How the program would end after it.
    pub code: ExitCode,
}

impl StatementEnd {
    fn done(output: String, code: ExitCode) -> Self {
        Self {
            output,
            error: None,
            code,
        }
    }

    fn failed(error: String, code: ExitCode) -> Self {
        Self {
            output: String::new(),
            error: Some(error),
            code,
        }
    }
}

/// A client and how its answers are written.
pub struct OperatorSession {
    client: OperatorClient,
    format: OutputFormat,
    command: Option<CommandId>,
}

impl OperatorSession {
    /// A session that writes tables and names its commands itself.
    pub fn new(client: OperatorClient) -> Self {
        Self {
            client,
            format: OutputFormat::Table,
            command: None,
        }
    }

    /// Replaces the format.
    pub fn with_format(mut self, format: OutputFormat) -> Self {
        self.format = format;
        self
    }

    /// Names the next command, to send one again.
    pub fn with_command(mut self, command: Option<CommandId>) -> Self {
        self.command = command;
        self
    }

    /// Carries out one statement.
    pub async fn run(&mut self, text: &str) -> StatementEnd {
        let statement = match parse(text) {
            Ok(statement) => statement,
            Err(e) => {
                let caret = " ".repeat(e.column - 1);
                return StatementEnd::failed(format!("{text}\n{caret}^\n{e}"), ExitCode::Usage);
            }
        };
        let ended = match &statement {
            Statement::Show(_) => self.show(text).await,
            Statement::Explain(_) => self.explain(text).await,
            Statement::Start { file, tier } => self.start(Path::new(file), tier.as_ref()).await,
            _ => self.command(&statement).await,
        };
        ended.unwrap_or_else(|e| StatementEnd::failed(e.to_string(), exit_code(&e)))
    }

    async fn show(&self, text: &str) -> Result<StatementEnd, ClientError> {
        let answer = self.client.query(text).await?;
        if self.format == OutputFormat::Json {
            return Ok(StatementEnd::done(format!("{answer}\n"), ExitCode::Success));
        }
        let answer: ShowAnswer =
            serde_json::from_value(answer).map_err(|e| ClientError::BadAnswer(e.to_string()))?;
        let output = render::show(&answer, unix_ms());
        Ok(StatementEnd::done(output, ExitCode::Success))
    }

    async fn explain(&self, text: &str) -> Result<StatementEnd, ClientError> {
        let answer = self.client.query(text).await?;
        Ok(StatementEnd::done(self.write(&answer), ExitCode::Success))
    }

    async fn command(&mut self, statement: &Statement) -> Result<StatementEnd, ClientError> {
        let command = self.command.take().unwrap_or_else(new_command);
        let outcome = self
            .client
            .command(&command, &statement.to_string())
            .await?;
        let code = match outcome {
            CommandOutcome::Accepted { .. } => ExitCode::Success,
            CommandOutcome::Rejected { .. } => ExitCode::Rejected,
            CommandOutcome::Unknown { .. } => ExitCode::Unknown,
        };
        let output = match self.format {
            OutputFormat::Table => render::outcome(&outcome, unix_ms()),
            OutputFormat::Json => {
                let line = serde_json::to_string(&outcome).expect("outcomes always encode");
                format!("{line}\n")
            }
        };
        Ok(StatementEnd::done(output, code))
    }

    async fn start(
        &mut self,
        file: &Path,
        tier: Option<&TierId>,
    ) -> Result<StatementEnd, ClientError> {
        let body = match std::fs::read(file) {
            Ok(body) => body,
            Err(e) => {
                let message = format!("{}: {e}", file.display());
                return Ok(StatementEnd::failed(message, ExitCode::Failure));
            }
        };
        let key = self.command.take().unwrap_or_else(new_command);
        let tier = tier.map(TierId::as_str);
        let answer = self.client.submit(key.as_str(), tier, body).await?;
        Ok(StatementEnd::done(self.write(&answer), ExitCode::Success))
    }

    fn write(&self, answer: &Value) -> String {
        match self.format {
            OutputFormat::Table => render::fields(answer),
            OutputFormat::Json => format!("{answer}\n"),
        }
    }
}

fn new_command() -> CommandId {
    let text = format!("cmd-{:016x}", rand::random::<u64>());
    text.parse().expect("a valid identifier")
}

fn exit_code(error: &ClientError) -> ExitCode {
    match error {
        ClientError::Refused { .. } => ExitCode::Rejected,
        ClientError::NoInstance { .. } | ClientError::BadAnswer(_) => ExitCode::Failure,
    }
}

//! Runs statements one after another.

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

/// Output format of answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// Aligned columns.
    Table,
    /// One JSON value a line.
    Json,
}

/// Output and exit code of a statement.
#[derive(Debug)]
pub struct StatementResult {
    /// Text for stdout.
    pub output: String,
    /// Text for stderr.
    pub error: Option<String>,
    /// Exit code if no further statement is run.
    pub code: ExitCode,
}

impl StatementResult {
    fn from_output(output: String, code: ExitCode) -> Self {
        Self {
            output,
            error: None,
            code,
        }
    }

    fn from_error(error: String, code: ExitCode) -> Self {
        Self {
            output: String::new(),
            error: Some(error),
            code,
        }
    }
}

/// Runs statements with a client and formats their answers.
pub struct OperatorSession {
    client: OperatorClient,
    format: OutputFormat,
    command: Option<CommandId>,
}

impl OperatorSession {
    /// Creates a session that prints tables and generates the ids of its commands.
    pub fn new(client: OperatorClient) -> Self {
        Self {
            client,
            format: OutputFormat::Table,
            command: None,
        }
    }

    /// Sets the output format.
    pub fn with_format(mut self, format: OutputFormat) -> Self {
        self.format = format;
        self
    }

    /// Sets the id of the next command, to retry an earlier one.
    pub fn with_command_id(mut self, command: Option<CommandId>) -> Self {
        self.command = command;
        self
    }

    /// Parses and runs one statement.
    pub async fn run(&mut self, text: &str) -> StatementResult {
        let statement = match parse(text) {
            Ok(statement) => statement,
            Err(e) => {
                let caret = " ".repeat(e.column - 1);
                return StatementResult::from_error(
                    format!("{text}\n{caret}^\n{e}"),
                    ExitCode::Usage,
                );
            }
        };
        let result = match &statement {
            Statement::Show(_) => self.show(text).await,
            Statement::Explain(_) => self.explain(text).await,
            Statement::Start { file, tier } => self.start(Path::new(file), tier.as_ref()).await,
            _ => self.command(&statement).await,
        };
        result.unwrap_or_else(|e| StatementResult::from_error(e.to_string(), exit_code(&e)))
    }

    async fn show(&self, text: &str) -> Result<StatementResult, ClientError> {
        let answer = self.client.query(text).await?;
        if self.format == OutputFormat::Json {
            return Ok(StatementResult::from_output(
                format!("{answer}\n"),
                ExitCode::Success,
            ));
        }
        let answer: ShowAnswer =
            serde_json::from_value(answer).map_err(|e| ClientError::BadAnswer(e.to_string()))?;
        let output = render::show(&answer, unix_ms());
        Ok(StatementResult::from_output(output, ExitCode::Success))
    }

    async fn explain(&self, text: &str) -> Result<StatementResult, ClientError> {
        let answer = self.client.query(text).await?;
        Ok(StatementResult::from_output(
            self.format_answer(&answer),
            ExitCode::Success,
        ))
    }

    async fn command(&mut self, statement: &Statement) -> Result<StatementResult, ClientError> {
        let command = self.command.take().unwrap_or_else(random_command_id);
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
        Ok(StatementResult::from_output(output, code))
    }

    async fn start(
        &mut self,
        file: &Path,
        tier: Option<&TierId>,
    ) -> Result<StatementResult, ClientError> {
        let body = match std::fs::read(file) {
            Ok(body) => body,
            Err(e) => {
                let message = format!("{}: {e}", file.display());
                return Ok(StatementResult::from_error(message, ExitCode::Failure));
            }
        };
        let key = self.command.take().unwrap_or_else(random_command_id);
        let tier = tier.map(TierId::as_str);
        let answer = self.client.submit_batch(key.as_str(), tier, body).await?;
        Ok(StatementResult::from_output(
            self.format_answer(&answer),
            ExitCode::Success,
        ))
    }

    fn format_answer(&self, answer: &Value) -> String {
        match self.format {
            OutputFormat::Table => render::fields(answer),
            OutputFormat::Json => format!("{answer}\n"),
        }
    }
}

fn random_command_id() -> CommandId {
    let text = format!("cmd-{:016x}", rand::random::<u64>());
    text.parse().expect("a valid identifier")
}

fn exit_code(error: &ClientError) -> ExitCode {
    match error {
        ClientError::Refused { .. } => ExitCode::Rejected,
        ClientError::NoInstance { .. } | ClientError::BadAnswer(_) => ExitCode::Failure,
    }
}

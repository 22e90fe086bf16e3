import {Writable} from 'node:stream';
import winston from 'winston';

/** Fields of one log event. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Writes each event as one line of key=value pairs. */
export interface Logger {
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  /** Fields that are added to every line, such as the VM. */
  readonly base: LogFields;
  /** Minimum level that is written. */
  readonly level: 'info' | 'warn' | 'error';
  /** Stream to which lines are written. Default: standard error. */
  readonly stream?: Writable;
}

/** Matches the names of fields whose values are not logged. */
const secretKeyPattern = /(key|token|secret|authorization)$/i;

/**
 * Formats a value. Empty text and text with spaces, quotes or equals signs is
 * written as a JSON string.
 */
function formatValue(value: unknown): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}

/** Formats one event as a line of key=value pairs, with secrets masked. */
export function formatLogLine(
  time: string,
  level: string,
  event: string,
  fields: LogFields,
): string {
  const pairs = [`time=${time}`, `level=${level}`, `event=${event}`];
  for (const [key, value] of Object.entries(fields)) {
    const shown = secretKeyPattern.test(key) ? '[secret]' : formatValue(value);
    pairs.push(`${key}=${shown}`);
  }
  return pairs.join(' ');
}

/** Creates the transport that writes the lines of a logger. */
function createTransport(stream: Writable | undefined) {
  if (stream !== undefined) return new winston.transports.Stream({stream});
  const stderrLevels = ['error', 'warn', 'info'];
  return new winston.transports.Console({stderrLevels});
}

/** Creates a logger that writes key=value lines. */
export function createLogger(options: LoggerOptions): Logger {
  const format = winston.format.printf(info => {
    const {level, message, timestamp, ...fields} = info;
    return formatLogLine(
      String(timestamp),
      level,
      String(message),
      fields as LogFields,
    );
  });
  const logger = winston.createLogger({
    level: options.level,
    defaultMeta: options.base,
    format: winston.format.combine(winston.format.timestamp(), format),
    transports: [createTransport(options.stream)],
  });
  return {
    info: (event, fields = {}) => void logger.info(event, fields),
    warn: (event, fields = {}) => void logger.warn(event, fields),
    error: (event, fields = {}) => void logger.error(event, fields),
  };
}

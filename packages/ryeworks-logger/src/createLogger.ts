import {Writable} from 'node:stream';
import winston from 'winston';

/** Fields of one log event. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Writes one key=value line for each event. */
export interface Logger {
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  /** Fields on every line, such as the VM. */
  readonly base: LogFields;
  /** Least level that is written. */
  readonly level: 'info' | 'warn' | 'error';
  /** Takes the lines; standard error when left out. */
  readonly stream?: Writable;
}

const secretKeyPattern = /(key|token|secret|authorization)$/i;

/** Formats a value; text with spaces or quotes becomes a JSON string. */
function formatValue(value: unknown): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}

/** Formats one event as a line of key=value pairs, secrets left out. */
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

/** Creates what takes the lines of a logger. */
function createTransport(stream: Writable | undefined) {
  if (stream !== undefined) return new winston.transports.Stream({stream});
  const stderrLevels = ['error', 'warn', 'info'];
  return new winston.transports.Console({stderrLevels});
}

/** Creates a logger. */
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

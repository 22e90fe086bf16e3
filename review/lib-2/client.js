import {connect} from 'node:net';

let attempts = 0;
const prefix = Math.random().toString(16).slice(2, 10);

export function createAttemptId() {
  attempts += 1;
  return `${prefix}${attempts.toString(16).padStart(8, '0')}`;
}

/** Creates the bytes of a request. */
export function createRequest({
  path,
  method = 'POST',
  body = '',
  attemptId = createAttemptId(),
  deadlineMs = 4000,
  key = 'key-one',
  headers = {},
}) {
  const lines = [
    `${method} ${path} HTTP/1.1`,
    'Host: calls.example',
    `X-Attempt-Id: ${attemptId}`,
    `X-Deadline-Ms: ${deadlineMs}`,
    `Authorization: Bearer ${key}`,
  ];
  for (const [name, value] of Object.entries(headers))
    lines.push(`${name}: ${value}`);
  if (method !== 'GET')
    lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

/**
 * A caller's connection. Reads answers one after the other, each to its length, its
 * last chunk or the end of the connection.
 */
export class Caller {
  constructor(host, port) {
    this.socket = connect({host, port, noDelay: true});
    this.bytes = Buffer.alloc(0);
    this.isOpen = true;
    this.isEnded = false;
    this.isReset = false;
    this.socket.on('data', chunk => {
      this.bytes = Buffer.concat([this.bytes, chunk]);
      this.handleChange?.();
    });
    this.socket.on('error', error => {
      this.isReset = true;
      this.error = error.code;
    });
    this.socket.on('end', () => {
      this.isEnded = true;
      this.handleChange?.();
    });
    this.socket.on('close', () => {
      this.isOpen = false;
      this.handleChange?.();
    });
  }

  /** Sends bytes. */
  send(bytes) {
    this.socket.write(bytes);
  }

  /** Waits for the next answer, at most for a time. */
  async readAnswer(timeoutMs) {
    const end = Date.now() + timeoutMs;
    for (;;) {
      const answer = this.takeAnswer();
      if (answer !== undefined) return answer;
      if (!this.isOpen)
        return {
          status: 0,
          body: '',
          isComplete: false,
          why: this.error ?? 'closed',
        };
      const left = end - Date.now();
      if (left <= 0)
        return {status: 0, body: '', isComplete: false, why: 'time limit'};
      await new Promise(resolve => {
        const timer = setTimeout(resolve, left);
        this.handleChange = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
  }

  takeAnswer() {
    const at = this.bytes.indexOf('\r\n\r\n');
    if (at < 0) return undefined;
    const [first, ...lines] = this.bytes
      .subarray(0, at)
      .toString('latin1')
      .split('\r\n');
    const status = Number(first.split(' ')[1]);
    const headers = {};
    for (const line of lines) {
      const colon = line.indexOf(':');
      headers[line.slice(0, colon).toLowerCase()] = line
        .slice(colon + 1)
        .trim();
    }
    const rest = this.bytes.subarray(at + 4);
    const finish = (body, end, isComplete) => {
      this.bytes = rest.subarray(end);
      return {status, headers, body: body.toString('latin1'), isComplete};
    };
    if (headers['transfer-encoding'] === 'chunked') {
      let from = 0;
      const parts = [];
      for (;;) {
        const line = rest.indexOf('\r\n', from);
        const size =
          line < 0 ? NaN : parseInt(rest.subarray(from, line).toString(), 16);
        const end = line + 2 + size + 2;
        if (line < 0 || rest.length < end) {
          if (this.isOpen) return undefined;
          return finish(Buffer.concat(parts), rest.length, false);
        }
        if (size === 0) return finish(Buffer.concat(parts), end, true);
        parts.push(rest.subarray(line + 2, line + 2 + size));
        from = end;
      }
    }
    if (headers['content-length'] !== undefined) {
      const length = Number(headers['content-length']);
      if (rest.length >= length)
        return finish(rest.subarray(0, length), length, true);
      if (this.isOpen) return undefined;
      return finish(rest, rest.length, false);
    }
    if (this.isOpen) return undefined;
    return finish(rest, rest.length, this.isEnded && !this.isReset);
  }

  close() {
    this.socket.destroy();
  }
}

/** Sends one request on a new connection and waits for its answer. */
export async function call(vm, options, timeoutMs = 6000) {
  const caller = new Caller(vm.ip, vm.ports.frontend);
  caller.send(createRequest(options));
  const answer = await caller.readAnswer(timeoutMs);
  caller.close();
  return answer;
}

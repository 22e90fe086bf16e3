/** Lowest HTTP status of an answer; lower ones are interim, or none. */
const minAnswerStatus = 200;
/** Highest HTTP status; a higher one is none. */
const maxAnswerStatus = 599;

/** Returns whether a number is the HTTP status of a final answer. */
export function isAnswerStatus(status: number): boolean {
  return status >= minAnswerStatus && status <= maxAnswerStatus;
}

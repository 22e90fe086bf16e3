/**
 * Returns a copy of a part of a block that is less than half of it, and any other part
 * as it is: a part that is kept keeps its whole block.
 */
export function copySmallPart(part: Buffer): Buffer {
  if (part.length * 2 > part.buffer.byteLength) return part;
  const copied = Buffer.allocUnsafeSlow(part.length);
  part.copy(copied);
  return copied;
}

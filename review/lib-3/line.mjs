/** Splits a byte stream into lines that end with CR LF; bytes as Latin-1. */
export class Lines {
  constructor() {
    this.parts = [];
    this.tail = '';
  }

  /** Adds a chunk and returns the lines that end in it. */
  push(chunk) {
    const text = chunk.toString('latin1');
    const ends = text.includes('\n') || this.tail.endsWith('\r');
    if (!ends) {
      this.parts.push(text);
      this.tail = text === '' ? this.tail : text;
      return [];
    }
    const whole = this.parts.join('') + text;
    const lines = whole.split('\r\n');
    const rest = lines.pop() ?? '';
    this.parts = rest === '' ? [] : [rest];
    this.tail = rest;
    return lines;
  }
}

/** Splits at the first space. */
export function splitWord(text) {
  const at = text.indexOf(' ');
  return at < 0 ? [text, ''] : [text.slice(0, at), text.slice(at + 1)];
}

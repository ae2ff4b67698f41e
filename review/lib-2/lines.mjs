// The line protocol: splits what arrives on a socket into lines.

/** Calls `onLine` with each line that arrives on a socket. */
export function readLines(socket, onLine) {
  let rest = '';
  socket.on('data', chunk => {
    rest += chunk.toString('latin1');
    for (let end = rest.indexOf('\r\n'); end >= 0; end = rest.indexOf('\r\n')) {
      const line = rest.slice(0, end);
      rest = rest.slice(end + 2);
      onLine(line);
    }
  });
}

/** Splits at the first blank. */
export function cut(text) {
  const end = text.indexOf(' ');
  return end < 0 ? [text, ''] : [text.slice(0, end), text.slice(end + 1)];
}

import {parse} from 'ini';
import type {DocumentError} from './document_error.js';

/** A `key = value` line of a file. */
export interface IniEntry {
  readonly key: string;
  readonly value: string;
  readonly line: number;
}

/** A `[kind name]` section of a file. */
export interface IniSection {
  readonly kind: string;
  readonly name: string;
  readonly line: number;
  readonly entries: readonly IniEntry[];
}

/** The sections of a file and its syntax errors. */
export interface IniFile {
  readonly sections: readonly IniSection[];
  readonly errors: readonly DocumentError[];
}

const HEADER = /^\[([^\]]*)\]\s*(?:[;#].*)?$/;
const ENTRY = /^([^=]+?)\s*=\s*(.*)$/;

/** Returns the title of a section, as written between the brackets. */
export function titleOf(section: Pick<IniSection, 'kind' | 'name'>): string {
  return `${section.kind} ${section.name}`.trim();
}

/** Returns the values of a section by key. */
export function valuesOf(section: IniSection): Record<string, string> {
  return Object.fromEntries(section.entries.map(e => [e.key, e.value]));
}

/** Returns the line of a key, or of its section if the key is absent. */
export function lineOf(section: IniSection, key: string): number {
  return section.entries.find(e => e.key === key)?.line ?? section.line;
}

/**
 * Parses the sections of an INI file in file order. The `ini` library merges
 * repeated sections and keys and provides no line numbers, so this module
 * parses the lines and uses the library only to decode values. A repeated
 * section or key is an error, because only one of its values could apply.
 */
export function parseIniSections(text: string): IniFile {
  const reader = new IniReader();
  for (const [index, raw] of text.split(/\r?\n/).entries()) {
    const content = raw.replace(/^\uFEFF/, '').trim();
    if (content !== '' && !/^[;#]/.test(content)) {
      reader.read(content, index + 1);
    }
  }
  return reader;
}

/** Collects sections and syntax errors line by line. */
class IniReader implements IniFile {
  readonly sections: Array<IniSection & {readonly entries: IniEntry[]}> = [];
  readonly errors: DocumentError[] = [];
  private readonly firstLines = new Map<string, number>();

  read(content: string, line: number): void {
    if (content.startsWith('[')) {
      this.readHeader(content, line);
    } else {
      this.readEntry(content, line);
    }
  }

  private readHeader(content: string, line: number): void {
    const title = HEADER.exec(content)?.[1]?.trim().replace(/\s+/g, ' ');
    if (!title) {
      const detail = 'expected a section header such as [kind name]';
      this.fault('syntax', line, '', detail);
      return;
    }
    const [kind = '', ...rest] = title.split(' ');
    this.sections.push({kind, name: rest.join(' '), line, entries: []});
    const first = this.firstLines.get(title);
    if (first === undefined) {
      this.firstLines.set(title, line);
    } else {
      const detail = `the section is already stated on line ${first}`;
      this.fault('duplicate-section', line, '', detail);
    }
  }

  private readEntry(content: string, line: number): void {
    const [, key, text = ''] = ENTRY.exec(content) ?? [];
    const entries = this.sections.at(-1)?.entries;
    if (key === undefined) {
      this.fault('syntax', line, '', 'expected a line such as key = value');
      return;
    }
    if (!entries) {
      const detail = 'expected a section header before the first key';
      this.fault('syntax', line, key, detail);
      return;
    }
    const first = entries.find(entry => entry.key === key);
    if (first) {
      const detail = `the key is already stated on line ${first.line}`;
      this.fault('duplicate-key', line, key, detail);
      return;
    }
    entries.push({key, value: decode(text), line});
  }

  private fault(
    kind: DocumentError['kind'],
    line: number,
    key: string,
    detail: string,
  ): void {
    const last = this.sections.at(-1);
    const section = last ? titleOf(last) : '';
    this.errors.push({kind, line, section, key, detail});
  }
}

/** Values without quotes, escapes, comments or brackets need no decoding. */
const PLAIN_VALUE = /^[^"'\\;#[\]]+$/;

/** Decodes quotes and escapes and removes a trailing comment. */
function decode(text: string): string {
  if (PLAIN_VALUE.test(text)) return text.trim();
  // The library returns booleans for `true` and `false`.
  return String(parse(`value = ${text}`)['value'] ?? '');
}

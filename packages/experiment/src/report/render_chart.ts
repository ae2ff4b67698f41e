import {View, parse} from 'vega';
import {compile} from 'vega-lite';
import type {TopLevelSpec} from 'vega-lite';

/** Renders a chart as SVG text, without network access. */
export async function renderChart(spec: TopLevelSpec): Promise<string> {
  const view = new View(parse(compile(spec).spec), {renderer: 'none'});
  try {
    return await view.toSVG();
  } finally {
    view.finalize();
  }
}

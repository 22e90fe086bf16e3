import {writeFile} from 'node:fs/promises';
import * as vega from 'vega';
import {compile, TopLevelSpec} from 'vega-lite';

/** A line chart with one line per value of the `series` field of its rows. */
export interface LinePlot {
  readonly title: string;
  readonly x: {readonly field: string; readonly title: string};
  readonly y: {readonly field: string; readonly title: string};
  readonly series: string;
  readonly rows: readonly Readonly<Record<string, unknown>>[];
}

/** Writes a line chart to an SVG file. */
export async function writePlot(file: string, plot: LinePlot): Promise<void> {
  const spec = {
    title: plot.title,
    width: 480,
    height: 260,
    data: {values: [...plot.rows]},
    mark: {type: 'line', point: true},
    encoding: {
      x: {field: plot.x.field, type: 'quantitative', title: plot.x.title},
      y: {field: plot.y.field, type: 'quantitative', title: plot.y.title},
      color: {field: plot.series, type: 'nominal', title: null},
    },
  } as TopLevelSpec;
  const runtime = vega.parse(compile(spec).spec);
  const view = new vega.View(runtime, {renderer: 'none'});
  await writeFile(file, `${await view.toSVG()}\n`);
}

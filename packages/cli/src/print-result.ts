import { type DescMessage, type MessageShape, toJson } from "@bufbuild/protobuf";
import type { CommandIo } from "./command.js";
import type { OutputFormat } from "./read-options.js";

/** A table cell before it is formatted. */
export type Cell = string | number | bigint | boolean | undefined;

/** Rows under a header. */
export interface Table {
    readonly header: readonly string[];
    readonly rows: readonly (readonly Cell[])[];
}

function formatCell(cell: Cell): string {
    const text = cell === undefined ? "" : String(cell).replaceAll(/[\r\n\t]+/g, " ");
    return text === "" ? "-" : text;
}

/** Formats a table as lines with aligned columns; a cell without a value is shown as "-". */
export function formatTable(table: Table): readonly string[] {
    const lines = [table.header, ...table.rows.map(row => row.map(formatCell))];
    const widths = table.header.map((name, column) => Math.max(...lines.map(line => line[column]?.length ?? 0)));
    return lines.map(line => line.map((text, column) => text.padEnd(widths[column] ?? 0)).join("  ").trimEnd());
}

/** Prints a message as JSON or as tables. */
export function printResult<Desc extends DescMessage>(
    io: CommandIo,
    output: OutputFormat,
    schema: Desc,
    message: MessageShape<Desc>,
    listTables: (message: MessageShape<Desc>) => readonly Table[],
): void {
    if (output === "json") {
        io.writeLine(JSON.stringify(toJson(schema, message, { alwaysEmitImplicit: true }), undefined, 2));
        return;
    }
    for (const [index, table] of listTables(message).entries()) {
        if (index > 0) {
            io.writeLine("");
        }
        for (const line of formatTable(table)) {
            io.writeLine(line);
        }
    }
}

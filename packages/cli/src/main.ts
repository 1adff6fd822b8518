#!/usr/bin/env node
import { runProgram } from "./program.js";

process.exitCode = await runProgram(process.argv, {
    environment: process.env,
    writeLine: line => process.stdout.write(line + "\n"),
    writeBytes: bytes => process.stdout.write(bytes),
    writeErrorLine: line => process.stderr.write(line + "\n"),
});

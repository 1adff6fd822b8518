// Bundles the program for the platform into one file, because a process on a small host loads one file many times
// faster than separate files. It bundles the sources of the workspace packages, so that no compiled output is needed.
import { build } from "esbuild";

const workspacePackages = {
    name: "workspace-packages",
    setup: context => {
        context.onResolve({ filter: /^@chestnutspool\// }, ({ path }) => ({
            path: new URL(`../packages/${path.slice("@chestnutspool/".length)}/src/index.ts`, import.meta.url).pathname,
        }));
    },
};

await build({
    entryPoints: ["platform/src/main.ts"],
    outfile: "target/chestnutspool.mjs",
    bundle: true,
    minifySyntax: true,
    minifyWhitespace: true,
    platform: "node",
    target: "node20",
    format: "esm",
    plugins: [workspacePackages],
    banner: {
        js: "import { createRequire as createModuleRequire } from \"node:module\";const require = createModuleRequire(import.meta.url);",
    },
});

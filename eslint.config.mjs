import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/dist/**", "**/node_modules/**", "target/**", "journal/**", "packages/schema/src/gen/**"] },
    ...tseslint.configs.recommendedTypeChecked,
    {
        languageOptions: {
            parserOptions: {
                projectService: { allowDefaultProject: ["*.mjs", "scripts/*.mjs"] },
                tsconfigRootDir: import.meta.dirname,
            },
        },
        rules: {
            "curly": "error",
            "eqeqeq": "error",
            "no-restricted-syntax": [
                "error",
                { selector: "TSEnumDeclaration", message: "Use a string union." },
                { selector: "ClassDeclaration > PropertyDefinition[key.name=/^_/]", message: "No leading underscore." },
            ],
            "max-lines": ["error", { max: 400, skipBlankLines: true, skipComments: true }],
            "one-var": ["error", "never"],
            "@typescript-eslint/switch-exhaustiveness-check": [
                "error",
                { allowDefaultCaseForExhaustiveSwitch: false, considerDefaultExhaustiveForUnions: false },
            ],
            "@typescript-eslint/no-floating-promises": ["error", {
                allowForKnownSafeCalls: [{ from: "package", package: "node:test", name: ["test", "describe", "it"] }],
            }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                {
                    selector: ["function", "parameter", "variable"],
                    format: ["camelCase"],
                    leadingUnderscore: "forbid",
                },
            ],
            "@typescript-eslint/require-await": "off",
        },
    },
    { files: ["**/*.mjs"], ...tseslint.configs.disableTypeChecked },
);

// Bundles the platform's daemon into three files: the program, its V8 code cache, and a start script that loads both.
// Usage: node scripts/bundle.mjs [FOLDER], from the root of the repository; FOLDER defaults to target.
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as esbuild from "esbuild";

const folder = process.argv[2] ?? "target";
const startFile = `${folder}/shedtillerd.cjs`;

/**
 * Resolves ts-results to its ESM build: bundlers can't follow the UMD wrapper of its main file, which passes `require` as a value. The ESM
 * build has no default export, so a module with one is generated.
 */
const tsResults = {
  name: "ts-results",
  setup(build) {
    build.onResolve({ filter: /^ts-results$/ }, () => ({ path: "ts-results", namespace: "ts-results" }));
    build.onLoad({ filter: /.*/, namespace: "ts-results" }, () => ({
      contents: 'import * as all from "./node_modules/ts-results/esm/index.js"; export default all;',
      resolveDir: process.cwd(),
    }));
  },
};

async function bundle(entryPoint, outfile) {
  await esbuild.build({
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minify: true,
    keepNames: true,
    legalComments: "none",
    plugins: [tsResults],
  });
}

/** Returns the Node.js options in the `run` command of the deploy file. V8 rejects a code cache that was created with other options. */
function getNodeOptions() {
  const run = /^run = "node (.*)"$/m.exec(fs.readFileSync("deploy/system.toml", "utf8"))?.[1] ?? "";
  return run.split(" ").filter((argument) => argument.startsWith("--"));
}

await bundle("platform/dist/runDaemon.js", `${folder}/program.cjs`);
await bundle("platform/dist/bundleStart.js", startFile);
childProcess.execFileSync(process.execPath, [...getNodeOptions(), startFile, "--write-compiled-code"], {
  stdio: "inherit",
});

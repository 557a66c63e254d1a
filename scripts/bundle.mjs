// Bundles the platform's daemon: the program in one file, its compiled code beside it, and the file that starts it.
// Usage: node scripts/bundle.mjs [FOLDER], from the root of the repository; the folder is target unless given.
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as esbuild from "esbuild";

const folder = process.argv[2] ?? "target";
const startFile = `${folder}/shedtillerd.cjs`;

/** ts-results hands `require` on as a value, which no bundler follows; its ESM form has no default export. */
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

/** The options of Node with which the deploy file starts the daemon: compiled code is only good for the options it was made with. */
function getNodeOptions() {
  const run = /^run = "node (.*)"$/m.exec(fs.readFileSync("deploy/system.toml", "utf8"))?.[1] ?? "";
  return run.split(" ").filter((word) => word.startsWith("--"));
}

await bundle("platform/dist/runDaemon.js", `${folder}/program.cjs`);
await bundle("platform/dist/bundleStart.js", startFile);
childProcess.execFileSync(process.execPath, [...getNodeOptions(), startFile, "--write-compiled-code"], {
  stdio: "inherit",
});

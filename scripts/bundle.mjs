// Bundles the platform's daemon into one file under target/: it starts several times faster than from node_modules.
import * as esbuild from "esbuild";

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

await esbuild.build({
  entryPoints: ["platform/dist/main.js"],
  outfile: "target/shedtillerd.mjs",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  minify: true,
  keepNames: true,
  legalComments: "none",
  plugins: [tsResults],
  // Bundled CommonJS packages ask for Node's own modules through this.
  banner: {
    js: 'import { createRequire as __createRequire } from "node:module"; const require = __createRequire(import.meta.url);',
  },
});

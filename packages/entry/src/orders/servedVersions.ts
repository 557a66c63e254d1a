/** Which versions of a pipeline whole chains hold, and which one new requests get. */
import type { PipelineObject } from "@shedtiller/intent";
import { getBoundariesThatReach, type EndpointDirectory, type EndpointEntry } from "@shedtiller/routing";

/** The versions of a pipeline that a whole chain holds, without one engine where that is named. */
export function getWholeVersions(
  directory: EndpointDirectory,
  pipeline: PipelineObject,
  excluded?: EndpointEntry,
): string[] {
  return directory.getVersions(pipeline.name).filter((version) => {
    const others = directory
      .getEngines(pipeline.name, version)
      .filter((candidate) => candidate.entry !== excluded);
    return getBoundariesThatReach(others, pipeline.layerCount).has(0);
  });
}

/**
 * The version to serve: the one in force once a whole chain holds it, until then one that a whole chain holds.
 * @param isOpen - Whether requests may begin on a version.
 */
export function getServedVersion(
  directory: EndpointDirectory,
  pipeline: PipelineObject,
  isOpen: (version: string) => boolean = () => true,
): string {
  const versions = [pipeline.version, ...directory.getVersions(pipeline.name)];
  const whole = getWholeVersions(directory, pipeline).filter(isOpen);
  return versions.find((version) => whole.includes(version)) ?? pipeline.version;
}

/** Versions of a pipeline that have a complete chain, and the version that serves new requests. */
import type { PipelineObject } from "@shedtiller/intent";
import { getBoundariesThatReach, type EndpointDirectory, type EndpointEntry } from "@shedtiller/routing";

/** Returns the versions of a pipeline that have a complete chain, without the engine `excluded` if it is given. */
export function getCompleteVersions(
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
 * Returns the version that serves new requests: the version in force if it has a complete chain, otherwise another version
 * that has one. If no version has one, returns the version in force.
 * @param isOpen - Whether requests may start on a version.
 */
export function getServedVersion(
  directory: EndpointDirectory,
  pipeline: PipelineObject,
  isOpen: (version: string) => boolean = () => true,
): string {
  const versions = [pipeline.version, ...directory.getVersions(pipeline.name)];
  const complete = getCompleteVersions(directory, pipeline).filter(isOpen);
  return versions.find((version) => complete.includes(version)) ?? pipeline.version;
}

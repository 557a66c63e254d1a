/** The command line has nothing to embed; its commands are its interface. */
export {};

package ryemast.net.worker;

/**
 * What came from a worker.
 *
 * @param message  an HttpMessage, or the exception that came in place of one
 * @param written  how many bytes had been written to that connection, from its beginning, when it was read
 */
record Answer(Object message, long written) {
}

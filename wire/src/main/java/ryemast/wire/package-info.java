/**
 * The batch protocol: frames, the values in them and the words both sides use. No sockets. A frame is four
 * bytes of length, the most significant first, and one CBOR map (RFC 8949) in definite or indefinite form.
 * docs/batch.md has the messages.
 */
package ryemast.wire;

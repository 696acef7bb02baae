package org.ragwortbank.node.metrics

/** Kinds of malformed or unexpected input, as counted in the metrics. */
enum class BadInput(val label: String) {
    /** A request that is not valid HTTP or exceeds a limit. */
    HTTP("http"),

    /** A request that can't be decoded as a call. */
    BODY("body"),

    /** A frame that can't be decoded or is unexpected. */
    FRAME("frame"),

    /** A connection that did not begin with a valid hello frame. */
    UNIDENTIFIED_PEER("stranger"),

    /** An upstream's answer to another request than the one that is under way on the connection. */
    OTHER_ANSWER("other_answer"),

    /** Bytes from an upstream on a connection without a request. */
    UNASKED_BYTES("unasked_bytes"),
}

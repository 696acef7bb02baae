package org.ragwortbank.node.metrics

/** Kinds of malformed or unexpected input. */
enum class BadInput(val label: String) {
    /** A request that is not HTTP or exceeds a bound. */
    HTTP("http"),

    /** A body that is not what the call expects. */
    BODY("body"),

    /** A frame that can't be decoded or is not expected. */
    FRAME("frame"),

    /** A connection that did not introduce itself. */
    UNIDENTIFIED_PEER("stranger"),
}

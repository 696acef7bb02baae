package org.ragwortbank.core.result

/** What is known about whether an upstream ran a request. */
enum class Execution(val label: String) {
    /** No upstream ran any part of it, and none will. */
    NOT_RUN("not run"),

    /** An upstream ran it, wholly or in part. */
    RAN("ran"),

    /** It may have run. */
    UNKNOWN("unknown"),
}

package org.ragwortbank.core.result

/** Whether an upstream executed a request, as far as is known; [label] is printed, sent and used in metrics. */
enum class Execution(val label: String) {
    /** No upstream executed any part of it, and none will. */
    NOT_RUN("not run"),

    /** An upstream executed it, in whole or in part. */
    RAN("ran"),

    /** An upstream may have executed it. */
    UNKNOWN("unknown"),
}

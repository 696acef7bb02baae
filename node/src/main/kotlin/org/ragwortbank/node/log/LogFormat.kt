package org.ragwortbank.node.log

/** Format of log lines. */
enum class LogFormat {
    /** One line of plain text per event. */
    TEXT,

    /** One line with a JSON object per event. */
    JSON,
}

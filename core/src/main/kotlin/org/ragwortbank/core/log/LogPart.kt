package org.ragwortbank.core.log

/** The parts of the system that write log lines, each with its fixed [prefix]. */
enum class LogPart(val prefix: String) {
    ADMISSION("admission"),
    LIMITS("limits"),
    ROUTING("routing"),
    ANSWER("answer"),
    CLAIMS("claims"),
    PLACEMENT("placement"),
    CONFIG("config"),
    MEMBERS("members"),
    DRAIN("drain"),
    LINKS("links"),
    HTTP("http"),
    PLATFORM("platform"),
}

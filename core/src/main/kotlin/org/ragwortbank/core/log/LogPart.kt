package org.ragwortbank.core.log

/** Parts of the system that write log lines; [prefix] is the value of the field `part` in each line. */
enum class LogPart(val prefix: String) {
    ADMISSION("admission"),
    LIMITS("limits"),
    ROUTING("routing"),
    ANSWER("answer"),
    CLAIMS("claims"),
    PLACEMENT("placement"),
    CRASHES("crashes"),
    CONFIG("config"),
    MEMBERS("members"),
    DRAIN("drain"),
    LINKS("links"),
    HTTP("http"),
    PLATFORM("platform"),
}

package org.ragwortbank.clients.http

/** What has arrived of the head of an answer. */
internal sealed interface HeadScan {
    /** What has arrived is sound, and the end is missing. */
    data object Incomplete : HeadScan

    /** All of it has arrived, and it is sound. */
    data object Sound : HeadScan

    /** It is not the head of an answer. */
    data class Malformed(val defect: HeadDefect) : HeadScan
}

package org.ragwortbank.standins.demo

import org.ragwortbank.clients.http.HttpReply

/**
 * One request of the demo and what it should get.
 *
 * @property code the numbered result code that must be in the answer; null for a complete answer
 * @property text what the answer must contain
 */
internal class DemoCase(
    val name: String,
    val status: Int,
    val code: Int? = null,
    val text: String = "",
    val send: () -> HttpReply,
)

/** What a case got. */
internal data class DemoResult(val name: String, val status: Int, val code: String, val good: Boolean)

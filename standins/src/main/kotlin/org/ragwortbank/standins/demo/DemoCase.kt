package org.ragwortbank.standins.demo

import org.ragwortbank.clients.http.HttpReply

/**
 * One request of the demo and what it should get.
 *
 * @property expectedCode the numbered result code that must be in the answer; null for a complete answer
 * @property expectedText what the answer must contain
 */
internal class DemoCase(
    val name: String,
    val expectedStatus: Int,
    val expectedCode: Int? = null,
    val expectedText: String = "",
    val sendRequest: () -> HttpReply,
)

/** What a case got. */
internal data class DemoResult(val name: String, val status: Int, val code: String, val isAsExpected: Boolean)

package org.ragwortbank.standins.demo

import org.ragwortbank.clients.http.HttpReply

/**
 * One request of the demo and the expected response.
 *
 * @property expectedCode numbered result code that the response must contain; null if it must contain none
 * @property expectedText text that the response must contain
 */
internal class DemoCase(
    val name: String,
    val expectedStatus: Int,
    val expectedCode: Int? = null,
    val expectedText: String = "",
    val sendRequest: () -> HttpReply,
)

/** The result of a case; [code] is `-` if the response had no result code. */
internal data class DemoResult(val name: String, val status: Int, val code: String, val isAsExpected: Boolean)

package org.ragwortbank.standins.demo

import org.ragwortbank.clients.http.HttpReply

/** The HTTP status of the response; zero if there was no complete response. */
internal fun HttpReply.statusOrZero(): Int = (this as? HttpReply.Answered)?.status ?: 0

/** The number of models in a response of `/v1/models`; zero if there was no complete response. */
internal fun HttpReply.modelCount(): Int =
    Regex("\"id\"").findAll((this as? HttpReply.Answered)?.text.orEmpty()).count()

package org.ragwortbank.standins.demo

import org.ragwortbank.clients.http.HttpReply

/** The status of the answer; zero when there was none. */
internal fun HttpReply.statusOrZero(): Int = (this as? HttpReply.Answered)?.status ?: 0

/** The number of models in an answered list of models. */
internal fun HttpReply.modelCount(): Int =
    Regex("\"id\"").findAll((this as? HttpReply.Answered)?.text.orEmpty()).count()

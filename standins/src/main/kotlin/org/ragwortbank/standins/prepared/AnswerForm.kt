package org.ragwortbank.standins.prepared

/** Bytes that a [StutteringWorker] writes in answer to a request, as text of which each character is one byte. */
sealed interface AnswerForm {
    /** The bytes for the request [requestId], run with [signature]. */
    fun encode(requestId: String, signature: String): String

    /**
     * A complete answer.
     *
     * @property namedRequest the id that it names; null for that of the request, empty for none
     */
    data class Complete(
        val status: Int,
        val body: String = "",
        val namedRequest: String? = null,
        val isSigned: Boolean = true,
        val framing: Framing = Framing.LENGTH,
        val fields: String = KEEP_ALIVE,
    ) : AnswerForm {
        override fun encode(requestId: String, signature: String): String {
            val id = namedRequest ?: requestId
            val idField = if (id.isEmpty()) "" else "X-Request-Id: $id\r\n"
            val signatureField = if (isSigned) "X-Server-Signature: $signature\r\n" else ""
            return "HTTP/1.1 $status ${reason(status)}\r\n$signatureField$idField$fields" + framing.encode(body)
        }
    }

    /** The first [length] bytes of [answer]. */
    data class Cut(val answer: AnswerForm, val length: Int) : AnswerForm {
        override fun encode(requestId: String, signature: String) = answer.encode(requestId, signature).take(length)
    }

    /** [answer] without its last [missing] bytes. */
    data class Short(val answer: AnswerForm, val missing: Int) : AnswerForm {
        override fun encode(requestId: String, signature: String) =
            answer.encode(requestId, signature).dropLast(missing)
    }

    /** [text] and then [answer]. */
    data class Preceded(val text: String, val answer: AnswerForm) : AnswerForm {
        override fun encode(requestId: String, signature: String) = text + answer.encode(requestId, signature)
    }

    /** [text] instead of an answer. */
    data class Raw(val text: String) : AnswerForm {
        override fun encode(requestId: String, signature: String) = text
    }

    /** How the end of a body is marked. */
    enum class Framing {
        LENGTH { override fun encode(body: String) = "Content-Length: ${body.length}\r\n\r\n$body" },
        CHUNKS { override fun encode(body: String) = "Transfer-Encoding: chunked\r\n\r\n${chunks(body)}0\r\n\r\n" },
        END_OF_CONNECTION { override fun encode(body: String) = "Connection: close\r\n\r\n$body" },
        ;

        /** The fields that say so, the end of the head, and [body]. */
        abstract fun encode(body: String): String
    }

    /** Forms that are used often. */
    companion object {
        private val SUCCESSES = 200..299
        private const val KEEP_ALIVE = "Keep-Alive: timeout=5\r\n"

        /** Fields that all answers of workers have that tell their load, if the connection stays open. */
        const val REGULAR_FIELDS: String = "X-Server-Load: 1,0,8\r\nContent-Type: application/json\r\n$KEEP_ALIVE"

        /** Fields that all answers of workers have that tell their load, if the connection is closed. */
        const val REGULAR_LAST_FIELDS: String = "X-Server-Load: 1,0,8\r\nContent-Type: application/json\r\n"

        /** The form that second answers are known to have. */
        val knownSecond = Complete(200, "ok", fields = "")

        private fun reason(status: Int) = if (status in SUCCESSES) "OK" else "Internal Server Error"

        private fun chunks(body: String) =
            if (body.isEmpty()) "" else "${body.length.toString(radix = 16)}\r\n$body\r\n"
    }
}

package org.ragwortbank.node.http

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import kotlinx.collections.immutable.toPersistentList
import kotlinx.io.bytestring.ByteString
import org.ragwortbank.clients.upstream.HopHeaders
import org.ragwortbank.core.model.Call
import org.ragwortbank.core.model.GenerationApi
import org.ragwortbank.core.model.Header
import org.ragwortbank.core.model.IdempotencyKey
import org.ragwortbank.core.model.KeyHash
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.core.model.RouteName
import org.ragwortbank.core.model.Work
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode

/** Turns HTTP requests into calls. */
internal class CallDecoder(private val defaultMaxTokens: Long) {
    /** Decodes a request with the given [body]; [id] becomes the call's identifier. */
    fun decode(request: HttpRequest, body: ByteArray, id: RequestId): Decoded {
        val path = request.uri().substringBefore('?')
        val post = request.method() == HttpMethod.POST
        val models = request.method() == HttpMethod.GET && path == "/v1/models"
        return when {
            models -> Decoded.Models(credential(request.headers()))
            post && path == "/v1/completions" -> generate(request, body, id, GenerationApi.COMPLETIONS)
            post && path == "/v1/chat/completions" -> generate(request, body, id, GenerationApi.CHAT)
            path.startsWith(SERVICES) -> service(request, body, id)
            else -> Decoded.Bad(Refusal.notRun(ResultCode.PATH_UNKNOWN, "no call '${request.method()} $path'"))
        }
    }

    private fun generate(request: HttpRequest, body: ByteArray, id: RequestId, api: GenerationApi): Decoded =
        when (val parsed = parseGenerate(body, api, defaultMaxTokens)) {
            is GenerateBody.Bad ->
                Decoded.Bad(
                    refusal = Refusal.notRun(ResultCode.MALFORMED_REQUEST, parsed.detail),
                    credential = credential(request.headers()),
                    route = parsed.model?.let(::RouteName),
                )
            is GenerateBody.Good -> withMarks(Call(id, RouteName(parsed.model), parsed.work), request.headers())
        }

    private fun service(request: HttpRequest, body: ByteArray, id: RequestId): Decoded {
        val rest = request.uri().removePrefix(SERVICES)
        val route = rest.takeWhile { it != '/' && it != '?' }
        val tail = rest.removePrefix(route)
        val work = Work.ServiceCall(
            method = request.method().name(),
            path = if (tail.startsWith('/')) tail else "/$tail",
            headers = forwarded(request.headers()),
            body = ByteString(body),
        )
        return withMarks(Call(id, RouteName(route), work), request.headers())
    }

    private fun withMarks(call: Call, headers: HttpHeaders): Decoded {
        val mark = headers[IDEMPOTENT_HEADER]
        val key = headers[IDEMPOTENCY_KEY_HEADER]
        return when {
            mark != null && mark.toBooleanStrictOrNull() == null -> bad(call, headers, markProblem(mark))
            key != null && key.length !in 1..MAX_KEY_LENGTH -> bad(call, headers, keyProblem(key))
            else ->
                Decoded.Good(
                    call.copy(
                        credential = credential(headers),
                        idempotencyKey = key?.let(::IdempotencyKey),
                        isIdempotent = mark?.toBooleanStrict(),
                    ),
                )
        }
    }

    private fun markProblem(mark: String): String = "$IDEMPOTENT_HEADER: found '$mark', expected 'true' or 'false'"

    private fun keyProblem(key: String): String =
        "$IDEMPOTENCY_KEY_HEADER: found ${key.length} characters, expected 1 to $MAX_KEY_LENGTH"

    private fun bad(call: Call, headers: HttpHeaders, detail: String): Decoded =
        Decoded.Bad(Refusal.notRun(ResultCode.MALFORMED_REQUEST, detail), credential(headers), call.route)

    private fun credential(headers: HttpHeaders): KeyHash? {
        val bearer = headers["Authorization"]?.takeIf { it.startsWith(BEARER, ignoreCase = true) }
        val key = bearer?.drop(BEARER.length)?.trim() ?: headers[API_KEY_HEADER]
        return key?.let(::hashKey)
    }

    private fun forwarded(headers: HttpHeaders) =
        headers.entries()
            .filterNot { it.key.lowercase() in HopHeaders.NAMES || it.key.lowercase() in SECRET_HEADERS }
            .map { Header(it.key, it.value) }
            .toPersistentList()

    private companion object {
        const val SERVICES = "/services/"
        const val BEARER = "Bearer "
        const val API_KEY_HEADER = "X-Api-Key"
        const val IDEMPOTENT_HEADER = "X-Idempotent"
        const val IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
        const val MAX_KEY_LENGTH = 255
        val SECRET_HEADERS = setOf("authorization", "x-api-key", "proxy-authorization", "cookie")
    }
}

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

/** Decodes HTTP requests into calls. */
internal class CallDecoder(private val defaultMaxTokens: Long) {
    /** Decodes [request] with its [body]; [id] becomes the call's ID. */
    fun decode(request: HttpRequest, body: ByteArray, id: RequestId): DecodedRequest {
        val path = request.uri().substringBefore('?')
        val isPost = request.method() == HttpMethod.POST
        val isModelList = request.method() == HttpMethod.GET && path == "/v1/models"
        return when {
            isModelList -> DecodedRequest.ListModels(credentialOf(request.headers()))
            isPost && path == "/v1/completions" -> decodeGeneration(request, body, id, GenerationApi.COMPLETIONS)
            isPost && path == "/v1/chat/completions" -> decodeGeneration(request, body, id, GenerationApi.CHAT)
            path.startsWith(SERVICES_PREFIX) -> decodeServiceCall(request, body, id)
            else ->
                DecodedRequest.Rejected(
                    Refusal.notRun(ResultCode.PATH_UNKNOWN, "unknown call '${request.method()} $path'"),
                )
        }
    }

    private fun decodeGeneration(
        request: HttpRequest,
        body: ByteArray,
        id: RequestId,
        api: GenerationApi,
    ): DecodedRequest =
        when (val parsed = parseGeneration(body, api, defaultMaxTokens)) {
            is ParsedGeneration.Invalid ->
                DecodedRequest.Rejected(
                    refusal = Refusal.notRun(ResultCode.MALFORMED_REQUEST, parsed.detail),
                    credential = credentialOf(request.headers()),
                    route = parsed.model?.let(::RouteName),
                )
            is ParsedGeneration.Valid ->
                withRequestHeaders(Call(id, RouteName(parsed.model), parsed.work), request.headers())
        }

    private fun decodeServiceCall(request: HttpRequest, body: ByteArray, id: RequestId): DecodedRequest {
        val routeAndPath = request.uri().removePrefix(SERVICES_PREFIX)
        val route = routeAndPath.takeWhile { it != '/' && it != '?' }
        val path = routeAndPath.removePrefix(route)
        val work = Work.ServiceCall(
            method = request.method().name(),
            path = if (path.startsWith('/')) path else "/$path",
            headers = forwardedHeaders(request.headers()),
            body = ByteString(body),
        )
        return withRequestHeaders(Call(id, RouteName(route), work), request.headers())
    }

    private fun withRequestHeaders(call: Call, headers: HttpHeaders): DecodedRequest {
        val idempotent = headers[IDEMPOTENT_HEADER]
        val key = headers[IDEMPOTENCY_KEY_HEADER]
        return when {
            idempotent != null && idempotent.toBooleanStrictOrNull() == null ->
                rejected(call, headers, invalidIdempotentMessage(idempotent))
            key != null && key.length !in 1..MAX_KEY_LENGTH -> rejected(call, headers, invalidKeyMessage(key))
            else ->
                DecodedRequest.UpstreamCall(
                    call.copy(
                        credential = credentialOf(headers),
                        idempotencyKey = key?.let(::IdempotencyKey),
                        isIdempotent = idempotent?.toBooleanStrict(),
                    ),
                )
        }
    }

    private fun invalidIdempotentMessage(value: String): String =
        "$IDEMPOTENT_HEADER: found '$value', expected 'true' or 'false'"

    private fun invalidKeyMessage(key: String): String =
        "$IDEMPOTENCY_KEY_HEADER: found ${key.length} characters, expected 1 to $MAX_KEY_LENGTH"

    private fun rejected(call: Call, headers: HttpHeaders, detail: String): DecodedRequest =
        DecodedRequest.Rejected(Refusal.notRun(ResultCode.MALFORMED_REQUEST, detail), credentialOf(headers), call.route)

    private fun credentialOf(headers: HttpHeaders): KeyHash? {
        val bearer = headers["Authorization"]?.takeIf { it.startsWith(BEARER_PREFIX, ignoreCase = true) }
        val key = bearer?.drop(BEARER_PREFIX.length)?.trim() ?: headers[API_KEY_HEADER]
        return key?.let(::hashApiKey)
    }

    private fun forwardedHeaders(headers: HttpHeaders) =
        headers.entries()
            .filterNot { it.key.lowercase() in HopHeaders.NAMES || it.key.lowercase() in CREDENTIAL_HEADERS }
            .map { Header(it.key, it.value) }
            .toPersistentList()

    private companion object {
        const val SERVICES_PREFIX = "/services/"
        const val BEARER_PREFIX = "Bearer "
        const val API_KEY_HEADER = "X-Api-Key"
        const val IDEMPOTENT_HEADER = "X-Idempotent"
        const val IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
        const val MAX_KEY_LENGTH = 255
        val CREDENTIAL_HEADERS = setOf("authorization", "x-api-key", "proxy-authorization", "cookie")
    }
}

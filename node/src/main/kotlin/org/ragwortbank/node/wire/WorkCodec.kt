package org.ragwortbank.node.wire

import kotlinx.io.bytestring.ByteString
import org.ragwortbank.core.model.GenerationApi
import org.ragwortbank.core.model.Work

internal fun Work.Generation.toWire(): WireGeneration =
    WireGeneration(
        chat = api == GenerationApi.CHAT,
        stream = isStreamed,
        promptTokens = promptTokens,
        maxTokens = maxTokens,
        usageWanted = includeUsage,
        body = body.toByteArray(),
    )

internal fun WireGeneration.toWork(): Work =
    Work.Generation(
        api = if (chat) GenerationApi.CHAT else GenerationApi.COMPLETIONS,
        isStreamed = stream,
        promptTokens = promptTokens,
        maxTokens = maxTokens,
        includeUsage = usageWanted,
        body = ByteString(body),
    )

internal fun Work.ServiceCall.toWire(): WireServiceCall =
    WireServiceCall(method, path, headers.map { it.toWire() }, body.toByteArray())

internal fun WireServiceCall.toWork(): Work = Work.ServiceCall(method, path, headers.toHeaders(), ByteString(body))

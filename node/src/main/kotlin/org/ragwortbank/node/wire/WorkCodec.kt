package org.ragwortbank.node.wire

import kotlinx.io.bytestring.ByteString
import org.ragwortbank.core.model.GenerateApi
import org.ragwortbank.core.model.Work

internal fun Work.Generate.toWire(): WireGenerate =
    WireGenerate(
        chat = api == GenerateApi.CHAT,
        stream = isStreamed,
        promptTokens = promptTokens,
        maxTokens = maxTokens,
        usageWanted = includeUsage,
        body = body.toByteArray(),
    )

internal fun WireGenerate.toWork(): Work =
    Work.Generate(
        api = if (chat) GenerateApi.CHAT else GenerateApi.COMPLETIONS,
        isStreamed = stream,
        promptTokens = promptTokens,
        maxTokens = maxTokens,
        includeUsage = usageWanted,
        body = ByteString(body),
    )

internal fun Work.ServiceCall.toWire(): WirePlain =
    WirePlain(method, path, headers.map { it.toWire() }, body.toByteArray())

internal fun WirePlain.toWork(): Work = Work.ServiceCall(method, path, headers.toHeaders(), ByteString(body))

package org.ragwortbank.node.wire

import kotlinx.io.bytestring.ByteString
import org.ragwortbank.core.model.GenerateApi
import org.ragwortbank.core.model.Work

internal fun Work.Generate.toWire(): WireGenerate =
    WireGenerate(
        chat = api == GenerateApi.CHAT,
        stream = stream,
        promptTokens = promptTokens,
        maxTokens = maxTokens,
        usageWanted = usageWanted,
        body = body.toByteArray(),
    )

internal fun WireGenerate.toWork(): Work =
    Work.Generate(
        api = if (chat) GenerateApi.CHAT else GenerateApi.COMPLETIONS,
        stream = stream,
        promptTokens = promptTokens,
        maxTokens = maxTokens,
        usageWanted = usageWanted,
        body = ByteString(body),
    )

internal fun Work.Plain.toWire(): WirePlain =
    WirePlain(method, path, headers.map { it.toWire() }, body.toByteArray())

internal fun WirePlain.toWork(): Work = Work.Plain(method, path, headers.toHeaders(), ByteString(body))

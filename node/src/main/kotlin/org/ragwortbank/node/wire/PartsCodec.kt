package org.ragwortbank.node.wire

import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.limits.GrantOrigin
import org.ragwortbank.core.message.RunId
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.Header
import org.ragwortbank.core.model.Incarnation
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.core.model.Usage
import org.ragwortbank.core.tick.Timestamp

internal fun RunId.toWire(): WireRun = WireRun(request.incarnation.value, request.sequence, attempt)

internal fun WireRun.toRunId(): RunId = RunId(RequestId(Incarnation(incarnation), sequence), attempt)

internal fun GrantOrigin.toWire(): WireGrantOrigin = WireGrantOrigin(owner.value, grantedAt.nanos)

internal fun WireGrantOrigin.toGrantOrigin(): GrantOrigin = GrantOrigin(Incarnation(home), Timestamp(atNanos))

internal fun AdapterRef.toWire(): WireAdapter = WireAdapter(name, version)

internal fun WireAdapter.toAdapter(): AdapterRef = AdapterRef(name, version)

internal fun Header.toWire(): WireHeader = WireHeader(name, value)

internal fun List<WireHeader>.toHeaders() = map { Header(it.name, it.value) }.toPersistentList()

internal fun Usage.toWire(): WireUsage = WireUsage(promptTokens, outputTokens)

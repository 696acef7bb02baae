package org.ragwortbank.node.sidecar

import org.ragwortbank.core.model.UpstreamKind
import org.ragwortbank.node.settings.SidecarNodeSettings
import org.ragwortbank.platform.http.HttpClient
import org.ragwortbank.platform.upstream.EngineClient
import org.ragwortbank.platform.upstream.ServiceClient
import org.ragwortbank.platform.upstream.UpstreamClient

/** The client for the kind of upstream that [settings] name. */
internal fun upstreamClient(settings: SidecarNodeSettings, client: HttpClient): UpstreamClient {
    val timeout = settings.platform.callTimeout
    val address = settings.upstreamAddress
    return when (settings.sidecar.kind) {
        UpstreamKind.SERVICE -> ServiceClient(client, address, timeout)
        UpstreamKind.ENGINE ->
            EngineClient(client, address, settings.weightPrefix, settings.sidecar.loadTimeout, timeout)
    }
}

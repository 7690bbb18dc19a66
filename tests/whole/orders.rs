//! Engines are brought to the state that the document describes.

use standin::fleet;

use crate::testenv::TestEnv;

#[tokio::test(flavor = "multi_thread")]
async fn engines_load_the_version_and_adapters_of_the_document() {
    let mut settings = fleet::Settings { engines: 2, ..Default::default() };
    settings.engine.models = vec![fleet::MODEL.to_owned()];
    let env = TestEnv::start(3, &settings).await;
    let model = format!("name = \"{}\"\nworkload", fleet::MODEL);
    let changed =
        format!("name = \"{}\"\nversion = \"2\"\nadapters = [\"night\"]\nworkload", fleet::MODEL);

    env.fleet.submit(1, &env.fleet.document().replace(&model, &changed)).unwrap();

    for engine in &env.fleet.engines {
        env.wait_until("the engine has the version and the adapter of the document", async || {
            let state = env.get(engine.address(), "/v1/state").await.map(|page| page.1);
            let state = state.unwrap_or_default();
            state.contains("\"version\":\"2\"") && state.contains("night")
        })
        .await;
    }
}
